package rillyard.modelcheck;

import java.util.List;

/**
 * A system to check, made of the production classes themselves: a history of actions is replayed for each state, so that
 * these classes need neither a copy nor an undo. Runs must be deterministic.
 *
 * @param <A> an action; its text is shown in histories
 */
public interface Model<A> {
    /** Returns a run in its initial state. */
    Run<A> newRun();

    /**
     * One run.
     *
     * @param <A> an action
     */
    interface Run<A> {
        /** Returns the actions that are enabled, in an order that depends on the history alone. */
        List<A> actions();

        /** Performs an enabled action. */
        void perform(A action);

        /** Returns everything on which the future depends: states with equal texts are taken for one. */
        String state();

        /** Returns a description of the invariant that the last action violated, null if there is none. */
        String violation();

        /**
         * Continues without faults until nothing changes any more.
         *
         * @return a description of the liveness property that is violated then, null if there is none
         */
        String violationAfterFairRun();
    }
}
