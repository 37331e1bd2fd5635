/** The second address: readiness, figures and hosts out by hand, on a thread of its own. */
package rillyard.admin;
