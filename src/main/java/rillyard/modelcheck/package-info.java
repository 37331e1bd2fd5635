/** An explicit-state model checker: explores all interleavings of a model's actions up to a depth and checks its invariants. */
package rillyard.modelcheck;
