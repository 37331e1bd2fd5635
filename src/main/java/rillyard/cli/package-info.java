/**
 * The command line interface. The commands that a platform starts, {@code proxy}, {@code adapter} and {@code rehearse},
 * run without it unless they have options. Exit codes: 0 success, 1 failure, 2 wrong usage or an invalid file.
 */
package rillyard.cli;
