/** Exchanges host observations and request rates between proxies as member attributes. */
package rillyard.outlier.net;
