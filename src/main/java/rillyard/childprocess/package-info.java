/** Starts, awaits and ends child processes of this program for rehearsals, benchmarks and tests. */
package rillyard.childprocess;
