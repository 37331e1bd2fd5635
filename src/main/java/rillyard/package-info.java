/** The entry point of the jar; see {@code docs/ARCHITECTURE.md} for the packages below it. */
package rillyard;
