package rillyard.modelcheck;

import java.util.List;

/**
 * A system to check, by running the very classes that decide: a history of actions is run anew for each
 * state, so these classes need neither be copied nor undone. All runs of one history have to be alike.
 *
 * @param <A> an action; its text is shown in histories
 */
public interface Model<A> {
    /** A run from the beginning, before any action. */
    Run<A> start();

    /** One run. */
    interface Run<A> {
        /** What may happen now, in an order that depends on the history alone. */
        List<A> actions();

        /** Has it happen. */
        void act(A action);

        /** All that what may happen later depends on: states of one text are taken for one. */
        String state();

        /** An invariant that the last action broke, in words; null if none. */
        String broken();

        /** Goes on without faults until all has come to rest; returns what is not as it should be then, or null. */
        String fairEnd();
    }
}
