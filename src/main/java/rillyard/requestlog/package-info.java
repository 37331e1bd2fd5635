/**
 * What really happened, line by line: the generator's ledger says what clients asked and got, the
 * stand-ins' says what hosts received and ran. Both are JSON lines, stamped in microseconds of Unix
 * time, so that the auditor can lay one beside the other.
 */
package rillyard.requestlog;
