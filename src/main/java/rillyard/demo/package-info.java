/** A demonstration of the whole system: test hosts, a proxy, load, and the audit of the run. */
package rillyard.demo;
