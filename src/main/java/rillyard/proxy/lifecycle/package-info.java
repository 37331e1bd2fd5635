/**
 * Lifecycle of a proxy process: launch, warm-up, configuration reload and shutdown by signal, and the run that records
 * the classes that a start loads.
 */
package rillyard.proxy.lifecycle;
