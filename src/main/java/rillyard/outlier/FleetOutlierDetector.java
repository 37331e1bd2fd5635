package rillyard.outlier;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides which hosts this proxy leaves, and when it comes back, from what all proxies last saw of them. Each decides for
 * itself by the same rule from nearly the same votes; nobody has to be asked. What the others say only takes from a host.
 * Times are ms of this proxy's clock. Not safe for use from several threads at once.
 */
public final class FleetOutlierDetector {
    /** What it decides; hosts by {@link HostObservation#number}. */
    public interface Out {
        /** The host gets nothing for so long (ms), then a trial. */
        void leave(int host, double wait, int failed, int served);

        /** The host may be tried in so long (ms). */
        void comeBack(int host, double wait);
    }

    /** What is held of a host that is spoken of. */
    private static final class Word {
        boolean left;
        double since = Double.NEGATIVE_INFINITY;
        double accusedFrom = Double.NaN;
        double heardAt;
        boolean again;
    }

    private final FleetOutlierSettings settings;
    private final RandomGenerator random;
    private final Out out;
    private final LocalObservations own = new LocalObservations();
    private final Map<Integer, Word> words = new HashMap<>();

    /** {@code random} is its only source of chance. */
    public FleetOutlierDetector(FleetOutlierSettings settings, RandomGenerator random, Out out) {
        this.settings = settings;
        this.random = random;
        this.out = out;
    }

    /** An attempt of this proxy's own has told whether a host serves. */
    public void ended(int host, boolean failed, double now) {
        own.ended(host, failed, now);
        Word word = words.get(host);
        if (word != null && word.left && failed) {
            word.again = true;
        }
    }

    /**
     * Takes the votes of all other proxies that are present, one list each, and decides.
     *
     * @param others their votes, as old as they are by now
     * @param proxies that are present, this one among them
     * @param hosts that are listed
     * @return this proxy's own votes, for the others; those that matter most come first
     */
    public List<HostObservation> step(List<List<HostObservation>> others, int proxies, int hosts, double now) {
        // Each that uses a part of the hosts is taken for one of many alike: so many use each host.
        double users =
                Math.max(settings.quorum(), (double) proxies * own.used(settings.habit(), now) / Math.max(1, hosts));
        Set<Integer> spokenOf = new TreeSet<>(words.keySet());
        spokenOf.addAll(own.failing(settings.window(), now));
        others.forEach(votes -> votes.stream()
                .filter(observation -> observation.failed() && observation.ageMillis() < settings.window())
                .forEach(hostObservation -> spokenOf.add(hostObservation.host())));
        List<HostObservation> mine = own.votes(spokenOf::contains, settings.window(), now);
        Map<Integer, HostObservation> seen = mine.stream().collect(Collectors.toMap(HostObservation::host, v -> v));
        for (int host : spokenOf) {
            Word word = words.computeIfAbsent(host, h -> new Word());
            decide(host, word, seen.get(host), others, users, now);
        }
        words.entrySet().removeIf(e -> forgotten(e.getKey(), e.getValue(), now));
        return mine;
    }

    /**
     * Whether nobody has told of a failure there for so long. Guards against a proxy that is cut off from the others' news and
     * waits on for its turn among all of them: it tries a host that it has left.
     */
    private boolean forgotten(int host, Word word, double now) {
        boolean over = now - word.heardAt > settings.forget();
        if (over && word.left) {
            out.comeBack(host, settings.ramp() * random.nextDouble());
        }
        return over;
    }

    private void decide(
            int host, Word word, HostObservation mine, List<List<HostObservation>> others, double users, double now) {
        ObservationCount tally = mine != null && now - mine.ageMillis() > word.since
                ? ObservationCount.NONE.plus(mine)
                : ObservationCount.NONE;
        for (List<HostObservation> votes : others) {
            for (HostObservation observation : votes) {
                if (observation.host() == host
                        && observation.ageMillis() < settings.window()
                        && now - observation.ageMillis() > word.since) {
                    tally = tally.plus(observation);
                    break; // one voice a proxy, whatever it says twice
                }
            }
        }
        word.heardAt = tally.failed() > 0 || word.heardAt == 0 ? now : word.heardAt;
        if (word.left) {
            away(host, word, tally, users, now);
        } else {
            here(host, word, tally, mine, users, now);
        }
    }

    private void here(int host, Word word, ObservationCount tally, HostObservation mine, double users, double now) {
        boolean byOthers = tally.failed() > (mine != null && mine.failed() ? 1 : 0);
        word.accusedFrom =
                !byOthers ? Double.NaN : Double.isNaN(word.accusedFrom) ? now + tally.youngest() : word.accusedFrom;
        // Guards against late news: who was served there after the last failure that anybody tells of believes its own
        // eyes.
        boolean knowsBetter = mine != null && !mine.failed() && mine.ageMillis() < tally.youngest();
        if (tally.fails(settings) && now - word.accusedFrom >= settings.hold() && !knowsBetter) {
            turn(word, true, now);
            out.leave(host, untilTrial(users), tally.failed(), tally.served());
        }
    }

    private void away(int host, Word word, ObservationCount tally, double users, double now) {
        if (tally.serves(settings)) {
            turn(word, false, now);
            out.comeBack(host, settings.ramp() * random.nextDouble());
        } else if (word.again) {
            out.leave(host, untilTrial(users), tally.failed(), tally.served());
        }
        word.again = false;
    }

    /** Only what is seen from now on counts for the next turn. */
    private static void turn(Word word, boolean left, double now) {
        word.left = left;
        word.since = now;
        word.accusedFrom = Double.NaN;
    }

    /**
     * An instant of this proxy's own, such that all who use the host together try it so many times a second. Guards against
     * all trying it at one instant, and against trials that grow with the number of proxies.
     */
    private double untilTrial(double users) {
        return 2_000 * users / settings.trials() * random.nextDouble();
    }
}
