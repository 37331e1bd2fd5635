package rillyard.modelcheck;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Explores the states of a model breadth first, so that the first violation found has a shortest history. States are told
 * apart by 128 bits of a hash of their text; a collision is practically impossible. Not thread-safe.
 *
 * @param <A> an action of the model
 */
public final class ModelChecker<A> {
    private record StateHash(long high, long low) {}

    /** A state by the shortest history that leads to it; the initial one has no predecessor and no action. */
    private record Node<A>(Node<A> predecessor, A action, int depth) {}

    /**
     * The result of a check.
     *
     * @param states number of distinct states reached
     * @param steps number of actions performed
     * @param depth greatest number of actions of a history
     * @param complete whether every state within the depth was explored, without a violation or the limit of states
     * @param violation what was violated, null if nothing was
     * @param history shortest sequence of actions that leads to the violation
     * @param <A> an action of the model
     */
    public record Result<A>(long states, long steps, int depth, boolean complete, String violation, List<A> history) {
        /** Returns a text with a line for each action of the history. */
        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(states + " states, " + steps + " steps, depth " + depth
                    + (complete ? "" : ", cut short by its limit of states"));
            if (violation != null) {
                text.append("\nbroken: ").append(violation);
                for (int index = 0; index < history.size(); index++) {
                    text.append("\n  ").append(index + 1).append(". ").append(history.get(index));
                }
            }
            return text.toString();
        }
    }

    /** The state of one check. */
    private final class Search {
        private final int maxDepth;
        private final int fairRunInterval;
        private final Set<StateHash> visited = new HashSet<>();
        private final ArrayDeque<Node<A>> frontier = new ArrayDeque<>();
        private long steps;
        private long states = 1;

        Search(int maxDepth, int fairRunInterval) {
            this.maxDepth = maxDepth;
            this.fairRunInterval = fairRunInterval;
        }

        Result<A> run(long maxStates) {
            frontier.add(new Node<>(null, null, 0));
            visited.add(hash(model.newRun()));
            while (!frontier.isEmpty()) {
                Node<A> node = frontier.poll();
                if (node.depth == maxDepth) {
                    continue;
                }
                for (A action : replay(node).actions()) {
                    Node<A> next = new Node<>(node, action, node.depth + 1);
                    String violation = explore(next);
                    if (violation != null) {
                        return new Result<>(states, steps, maxDepth, false, violation, history(next));
                    }
                    if (states >= maxStates) {
                        return new Result<>(states, steps, maxDepth, false, null, List.of());
                    }
                }
            }
            return new Result<>(states, steps, maxDepth, true, null, List.of());
        }

        /** Performs the last action of a history and adds its state to the frontier if it is new. Returns a violation. */
        private String explore(Node<A> node) {
            Model.Run<A> run = replay(node.predecessor);
            run.perform(node.action);
            steps++;
            if (run.violation() != null) {
                return run.violation();
            }
            if (!visited.add(hash(run))) {
                return null;
            }
            if (fairRunInterval > 0 && states % fairRunInterval == 0) {
                String violation = run.violationAfterFairRun();
                if (violation != null) {
                    return violation;
                }
            }
            states++;
            frontier.add(node);
            return null;
        }
    }

    private final Model<A> model;
    private final LongTupleHashFunction hashFunction = LongTupleHashFunction.xx128();

    /** Creates a checker of a model. */
    public ModelChecker(Model<A> model) {
        this.model = model;
    }

    /**
     * Explores the model until a violation, to a depth and to a limit of states.
     *
     * @param fairRunInterval every how many states a fair run is tried; 0 for never
     */
    public Result<A> check(int maxDepth, long maxStates, int fairRunInterval) {
        return new Search(maxDepth, fairRunInterval).run(maxStates);
    }

    private StateHash hash(Model.Run<A> run) {
        long[] hash = hashFunction.hashChars(run.state());
        return new StateHash(hash[0], hash[1]);
    }

    private Model.Run<A> replay(Node<A> node) {
        Model.Run<A> run = model.newRun();
        history(node).forEach(run::perform);
        return run;
    }

    private static <A> List<A> history(Node<A> node) {
        List<A> actions = new ArrayList<>();
        for (Node<A> current = node; current.predecessor != null; current = current.predecessor) {
            actions.add(current.action);
        }
        Collections.reverse(actions);
        return actions;
    }
}
