/** Trials of many processes of this program, with faults between them. */
package rillyard.faultinjection;
