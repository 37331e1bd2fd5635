/**
 * Life of a proxy process: its launch, warm-up, configuration reload, shutdown by signal, and the run that records the
 * classes that a start loads.
 */
package rillyard.proxy.lifecycle;
