/**
 * Fleet-wide outlier ejection: decides which hosts the fleet ejects, and when it readmits them, from the observations
 * of all proxies. Performs no I/O and reads no clock.
 */
package rillyard.outlier;
