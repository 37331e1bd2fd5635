/** A model checker: every order of the actions of a model to a depth, its invariants and its fair ends. */
package rillyard.modelcheck;
