/**
 * Files from outside, checked before they are believed: every finding names file, line, key, what
 * was found and what is allowed, and all findings of a file come in one pass.
 */
package rillyard.config;
