/**
 * Request logs as JSON lines: the load generator records what clients sent and received, the test hosts record what they
 * received and executed. Timestamps are microseconds of Unix time, so that the audit can compare both logs.
 */
package rillyard.requestlog;
