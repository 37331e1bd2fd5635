/**
 * The command line, but for what a platform starts: {@code proxy}, {@code adapter} and {@code
 * rehearse} run without it. Exit codes: 0 done, 1 the thing asked for failed, 2 wrong usage, also a
 * file that can't be used.
 */
package rillyard.cli;
