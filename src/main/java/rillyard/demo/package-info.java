/** One command that shows the whole: stand-ins, a proxy, load, and the audit of what came of it. */
package rillyard.demo;
