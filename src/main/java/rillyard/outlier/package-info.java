/**
 * Fleet-wide outlier ejection: decides which hosts the fleet ejects and when it readmits them, from what all proxies observed.
 * No I/O and no clock.
 */
package rillyard.outlier;
