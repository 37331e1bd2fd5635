/**
 * The admin endpoint of a client proxy and the directory that its processes share during a hot restart.
 */
package rillyard.proxy.admin;
