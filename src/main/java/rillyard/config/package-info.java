/**
 * Reads and validates configuration files. Each problem names the file, line and key, what was found and what is
 * allowed, and all problems of a file are reported in one pass.
 */
package rillyard.config;
