/**
 * Budgets for what all connections share: file descriptors and memory for buffered bodies. Confined to the event loop.
 */
package rillyard.proxy.resources;
