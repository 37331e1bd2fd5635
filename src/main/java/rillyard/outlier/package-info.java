/** Decides which hosts the fleet leaves and when it is back, and how large pools are, from what all proxies saw. No I/O, no clock. */
package rillyard.outlier;
