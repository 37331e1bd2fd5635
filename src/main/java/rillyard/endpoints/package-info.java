/** Decides which hosts are members, whatever discovery and operators say; no I/O and no clock. */
package rillyard.endpoints;
