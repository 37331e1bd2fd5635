/**
 * Processes that this program starts for a rehearsal, a measurement or a test: the one place that
 * puts their command lines together, waits for them and ends them.
 */
package rillyard.childprocess;
