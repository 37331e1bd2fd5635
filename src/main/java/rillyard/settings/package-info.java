/** Reads and validates the JSON settings of a proxy, without the parts of Jackson that delay a start. */
package rillyard.settings;
