/**
 * Hosts and a discovery that stand in for the real ones, on loopback: they speak the platform's
 * protocol, take as long as they are told to, fail on a fault schedule, and write down all that they ran.
 * Nothing in the proxy may use this package.
 */
package rillyard.testserver;
