package rillyard.loadgen;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/** The arrivals of a plan, one by one in the order of their times; knows no clock. */
public final class RequestSchedule implements Iterator<ScheduledRequest> {
    private final LoadPlan plan;
    private final SplittableRandom gaps;
    private final SplittableRandom marks;
    private final WeightedSampler classes;
    private final WeightedSampler tenants;
    private final WeightedSampler clients;
    private final Iterator<RecordedTrace.RecordedRequest> trace;
    private int shape;
    private double shapeFrom;
    private double within;
    private double count;
    private ScheduledRequest next;

    /** The same plan gives the same arrivals. */
    public RequestSchedule(LoadPlan plan) {
        this.plan = plan;
        SplittableRandom seed = new SplittableRandom(plan.seed());
        this.gaps = seed.split();
        this.marks = seed.split();
        this.classes =
                weights(plan.classes().stream().mapToDouble(LoadClass::share).toArray());
        this.tenants = weights(
                plan.tenants().stream().mapToDouble(LoadPlan.Tenant::share).toArray());
        this.clients =
                WeightedSampler.zipf(plan.clients().count(), plan.clients().skew());
        this.trace = plan.trace() == null ? null : plan.trace().entries().iterator();
        this.next = trace == null ? nextOfProfile() : nextOfTrace();
    }

    private static WeightedSampler weights(double[] shares) {
        return shares.length == 0 ? null : new WeightedSampler(shares);
    }

    @Override
    public boolean hasNext() {
        return next != null;
    }

    @Override
    public ScheduledRequest next() {
        if (next == null) {
            throw new NoSuchElementException();
        }
        ScheduledRequest request = next;
        next = trace == null ? nextOfProfile() : nextOfTrace();
        return request;
    }

    private ScheduledRequest nextOfProfile() {
        List<RateProfile> shapes = plan.profiles();
        while (shape < shapes.size()) {
            RateProfile profile = shapes.get(shape);
            count += profile.isPoisson() ? gaps.nextExponential() : 1;
            double at = profile.timeOf(count, within);
            if (!Double.isNaN(at)) {
                within = at;
                return withClassAndClient((long) (1e9 * (shapeFrom + at)));
            }
            // What is left of the gap is not carried over: the next shape begins on its own.
            shape++;
            shapeFrom += profile.seconds();
            within = 0;
            count = 0;
        }
        return null;
    }

    private ScheduledRequest withClassAndClient(long at) {
        LoadClass type = plan.classes().get(classes.sample(marks));
        String tenant = tenants == null
                ? null
                : plan.tenants().get(tenants.sample(marks)).name();
        int client = clients.sample(marks);
        String key = type.keys() == 0 ? null : "k" + marks.nextInt(type.keys());
        return new ScheduledRequest(at, type, tenant, client, key);
    }

    private ScheduledRequest nextOfTrace() {
        if (!trace.hasNext()) {
            return null;
        }
        RecordedTrace.RecordedRequest request = trace.next();
        int client = request.client() == null
                ? clients.sample(marks)
                : Math.floorMod(request.client().hashCode(), plan.clients().count());
        return new ScheduledRequest(
                plan.trace().at(request), request.type(), request.tenant(), client, request.routeKey());
    }
}
