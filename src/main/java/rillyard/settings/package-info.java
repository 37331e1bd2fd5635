/** Reads and validates the settings of a proxy, given as JSON, without the parts of Jackson that slow down a start. */
package rillyard.settings;
