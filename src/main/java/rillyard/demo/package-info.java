/** One command that shows the whole: test hosts, a proxy, load, and the audit of what came of it. */
package rillyard.demo;
