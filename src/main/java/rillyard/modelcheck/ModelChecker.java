package rillyard.modelcheck;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Walks all states of a model, nearest first, so that the first breach found has a shortest history. States
 * are known by 128 bits of their text: two that differ and look alike are as good as impossible.
 */
public final class ModelChecker<A> {
    private record Seen(long high, long low) {}

    private static final class Node<A> {
        final Node<A> before;
        final A action;
        final int depth;

        Node(Node<A> before, A action, int depth) {
            this.before = before;
            this.action = action;
            this.depth = depth;
        }
    }

    /**
     * What was found.
     *
     * @param states different states that were reached
     * @param steps actions that were tried
     * @param depth the most actions of a history
     * @param whole whether every state within the depth was reached, or the limit of states ended it
     * @param breach what was broken, null if nothing was
     * @param history the shortest way to it
     */
    public record Result<A>(long states, long steps, int depth, boolean whole, String breach, List<A> history) {
        /** The result in words, a line for each action of the history. */
        @Override
        public String toString() {
            StringBuilder out = new StringBuilder(states + " states, " + steps + " steps, depth " + depth
                    + (whole ? "" : ", cut short by its limit of states"));
            if (breach != null) {
                out.append("\nbroken: ").append(breach);
                for (int i = 0; i < history.size(); i++) {
                    out.append("\n  ").append(i + 1).append(". ").append(history.get(i));
                }
            }
            return out.toString();
        }
    }

    private final Model<A> model;
    private final LongTupleHashFunction hash = LongTupleHashFunction.xx128();

    public ModelChecker(Model<A> model) {
        this.model = model;
    }

    /**
     * Walks to a depth, and to no more than so many states.
     *
     * @param fairEvery the fair end is tried from the first of so many states; 0 for none
     */
    public Result<A> walk(int depth, long mostStates, int fairEvery) {
        Set<Seen> seen = new HashSet<>();
        ArrayDeque<Node<A>> open = new ArrayDeque<>();
        open.add(new Node<>(null, null, 0));
        seen.add(seen(model.start()));
        long steps = 0;
        long states = 1;
        while (!open.isEmpty()) {
            Node<A> at = open.poll();
            if (at.depth == depth) {
                continue;
            }
            List<A> actions = replay(at).actions();
            for (A action : actions) {
                Model.Run<A> run = replay(at);
                run.act(action);
                steps++;
                Node<A> next = new Node<>(at, action, at.depth + 1);
                if (run.broken() != null) {
                    return new Result<>(states, steps, depth, false, run.broken(), history(next));
                }
                if (!seen.add(seen(run))) {
                    continue;
                }
                if (fairEvery > 0 && states % fairEvery == 0) {
                    String end = run.fairEnd();
                    if (end != null) {
                        return new Result<>(states, steps, depth, false, end, history(next));
                    }
                }
                if (++states >= mostStates) {
                    return new Result<>(states, steps, depth, false, null, List.of());
                }
                open.add(next);
            }
        }
        return new Result<>(states, steps, depth, true, null, List.of());
    }

    private Seen seen(Model.Run<A> run) {
        long[] h = hash.hashChars(run.state());
        return new Seen(h[0], h[1]);
    }

    private Model.Run<A> replay(Node<A> to) {
        Model.Run<A> run = model.start();
        history(to).forEach(run::act);
        return run;
    }

    private static <A> List<A> history(Node<A> to) {
        List<A> all = new ArrayList<>();
        for (Node<A> node = to; node.before != null; node = node.before) {
            all.add(node.action);
        }
        Collections.reverse(all);
        return all;
    }
}
