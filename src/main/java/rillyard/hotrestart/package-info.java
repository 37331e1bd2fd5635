/** Processes of one proxy that follow each other on a machine, and what they leave to each other. */
package rillyard.hotrestart;
