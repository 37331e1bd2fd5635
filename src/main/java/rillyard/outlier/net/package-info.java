/** Carries what proxies saw of hosts, and their rates, between them as facts of membership. */
package rillyard.outlier.net;
