/**
 * State that the processes of one proxy share on a machine: which of them is active, and the hosts that operators
 * disabled.
 */
package rillyard.hotrestart;
