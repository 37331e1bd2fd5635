package rillyard.loadgen;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/**
 * Iterates over the requests of a plan in the order of their scheduled times. Uses no clock: times are relative to
 * the start of the run.
 */
public final class RequestSchedule implements Iterator<ScheduledRequest> {
    private final LoadPlan plan;
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom requestRandom;
    private final WeightedSampler classes;
    private final WeightedSampler tenants;
    private final WeightedSampler clients;
    private final Iterator<RecordedTrace.RecordedRequest> trace;
    private int profileIndex;
    private double profileStartSeconds;
    private double secondsInProfile;
    private double arrivalsInProfile;
    private ScheduledRequest next;

    /** Creates a schedule. The same plan gives the same requests. */
    public RequestSchedule(LoadPlan plan) {
        this.plan = plan;
        SplittableRandom seed = new SplittableRandom(plan.seed());
        this.arrivalRandom = seed.split();
        this.requestRandom = seed.split();
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
        List<RateProfile> profiles = plan.profiles();
        while (profileIndex < profiles.size()) {
            RateProfile profile = profiles.get(profileIndex);
            arrivalsInProfile += profile.isPoisson() ? arrivalRandom.nextExponential() : 1;
            double atSeconds = profile.timeOf(arrivalsInProfile, secondsInProfile);
            if (!Double.isNaN(atSeconds)) {
                secondsInProfile = atSeconds;
                return withClassAndClient((long) (1e9 * (profileStartSeconds + atSeconds)));
            }
            // The remaining interval is not carried over: the next profile draws a new first arrival.
            profileIndex++;
            profileStartSeconds += profile.seconds();
            secondsInProfile = 0;
            arrivalsInProfile = 0;
        }
        return null;
    }

    private ScheduledRequest withClassAndClient(long atNanos) {
        LoadClass requestClass = plan.classes().get(classes.sample(requestRandom));
        String tenant = tenants == null
                ? null
                : plan.tenants().get(tenants.sample(requestRandom)).name();
        int client = clients.sample(requestRandom);
        String key = requestClass.keys() == 0 ? null : "k" + requestRandom.nextInt(requestClass.keys());
        return new ScheduledRequest(atNanos, requestClass, tenant, client, key);
    }

    private ScheduledRequest nextOfTrace() {
        if (!trace.hasNext()) {
            return null;
        }
        RecordedTrace.RecordedRequest request = trace.next();
        int client = request.client() == null
                ? clients.sample(requestRandom)
                : Math.floorMod(request.client().hashCode(), plan.clients().count());
        return new ScheduledRequest(
                plan.trace().sendAtNanos(request),
                request.requestClass(),
                request.tenant(),
                client,
                request.routeKey());
    }
}
