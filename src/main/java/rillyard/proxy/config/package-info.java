/**
 * The configuration file of a client proxy and the environment variables that override it.
 */
package rillyard.proxy.config;
