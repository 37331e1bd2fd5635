package rillyard.load;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/** The arrivals of a plan, one by one in the order of their times; knows no clock. */
public final class Schedule implements Iterator<Arrival> {
    private final LoadPlan plan;
    private final SplittableRandom gaps;
    private final SplittableRandom marks;
    private final Weights classes;
    private final Weights tenants;
    private final Weights clients;
    private final Iterator<Trace.Entry> trace;
    private int shape;
    private double shapeFrom;
    private double within;
    private double count;
    private Arrival next;

    /** The same plan gives the same arrivals. */
    public Schedule(LoadPlan plan) {
        this.plan = plan;
        SplittableRandom seed = new SplittableRandom(plan.seed());
        this.gaps = seed.split();
        this.marks = seed.split();
        this.classes =
                weights(plan.classes().stream().mapToDouble(LoadClass::share).toArray());
        this.tenants = weights(
                plan.tenants().stream().mapToDouble(LoadPlan.Tenant::share).toArray());
        this.clients = Weights.zipf(plan.clients().count(), plan.clients().skew());
        this.trace = plan.trace() == null ? null : plan.trace().entries().iterator();
        this.next = trace == null ? shaped() : traced();
    }

    private static Weights weights(double[] shares) {
        return shares.length == 0 ? null : new Weights(shares);
    }

    @Override
    public boolean hasNext() {
        return next != null;
    }

    @Override
    public Arrival next() {
        if (next == null) {
            throw new NoSuchElementException();
        }
        Arrival a = next;
        next = trace == null ? shaped() : traced();
        return a;
    }

    private Arrival shaped() {
        List<Shape> shapes = plan.shapes();
        while (shape < shapes.size()) {
            Shape s = shapes.get(shape);
            count += s.random() ? gaps.nextExponential() : 1;
            double at = s.when(count, within);
            if (!Double.isNaN(at)) {
                within = at;
                return marked((long) (1e9 * (shapeFrom + at)));
            }
            // What is left of the gap is not carried over: the next shape begins on its own.
            shape++;
            shapeFrom += s.seconds();
            within = 0;
            count = 0;
        }
        return null;
    }

    private Arrival marked(long at) {
        LoadClass type = plan.classes().get(classes.draw(marks));
        String tenant =
                tenants == null ? null : plan.tenants().get(tenants.draw(marks)).name();
        int client = clients.draw(marks);
        String key = type.keys() == 0 ? null : "k" + marks.nextInt(type.keys());
        return new Arrival(at, type, tenant, client, key);
    }

    private Arrival traced() {
        if (!trace.hasNext()) {
            return null;
        }
        Trace.Entry e = trace.next();
        int client = e.client() == null
                ? clients.draw(marks)
                : Math.floorMod(e.client().hashCode(), plan.clients().count());
        return new Arrival(plan.trace().at(e), e.type(), e.tenant(), client, e.routeKey());
    }
}
