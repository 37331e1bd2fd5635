package rillyard.faultinjection;

import java.util.Locale;

/**
 * Something done to processes, to the datagrams between them, or to their connections to hosts and discovery.
 *
 * @param startMs ms from the start of the fault schedule
 * @param sources which processes; for datagrams those that send them
 * @param destinations for datagrams those that they are for; else unused
 * @param hosts for connections those that are called; else {@link HostPattern#NONE}
 * @param oneWay for datagrams whether those the other way are left alone
 * @param durationMs ms; 0 for what happens at one instant
 * @param share of the datagrams that are lost, or doubled; of its time that a starved process stands still
 * @param delayMs the longest that datagrams are held, each for a time of its own; for how long all bytes are
 */
public record InjectedFault(
        double startMs,
        Kind kind,
        ProcessPattern sources,
        ProcessPattern destinations,
        HostPattern hosts,
        boolean oneWay,
        double durationMs,
        double share,
        double delayMs) {
    /** To what it is done. */
    enum Place {
        PROCESSES,
        DATAGRAMS,
        CONNECTIONS
    }

    /** What is done. */
    public enum Kind {
        KILL(Place.PROCESSES),
        TERM(Place.PROCESSES),
        STOP(Place.PROCESSES),
        RESTART(Place.PROCESSES),
        /** It gets a share of its core only. */
        STARVE(Place.PROCESSES),
        LOSE(Place.DATAGRAMS),
        DOUBLE(Place.DATAGRAMS),
        DELAY(Place.DATAGRAMS),
        /** Connections stand, and nothing passes. */
        SILENT(Place.CONNECTIONS),
        /** Connections are reset, new ones too. */
        RESET(Place.CONNECTIONS),
        SLOW(Place.CONNECTIONS),
        /** New connections are rejected. */
        REFUSED(Place.CONNECTIONS);

        final Place target;

        Kind(Place place) {
            this.target = place;
        }

        boolean lasting() {
            return target != Place.PROCESSES || this == STOP || this == STARVE;
        }
    }

    Place target() {
        return kind.target;
    }

    /** Whether it touches a datagram of this process to that one. */
    boolean affects(FleetProcess from, FleetProcess to) {
        return target() == Place.DATAGRAMS
                && ((sources.matches(from) && this.destinations.matches(to))
                        || (!oneWay && sources.matches(to) && this.destinations.matches(from)));
    }

    /** What is done, in words without its times. */
    String description() {
        String what = kind.name().toLowerCase(Locale.ROOT) + " " + sources;
        if (target() == Place.DATAGRAMS) {
            what += (oneWay ? " to " : " with ")
                    + destinations
                    + (kind == Kind.DELAY ? " by up to " + delayMs + " ms" : " share " + share);
        } else if (target() == Place.CONNECTIONS) {
            what += " to hosts " + hosts + (kind == Kind.SLOW ? " by " + delayMs + " ms" : "");
        } else if (kind == Kind.STARVE) {
            what += " share " + share;
        }
        return what;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%.1f s: %s%s",
                startMs / 1_000,
                description(),
                durationMs > 0 ? String.format(Locale.ROOT, " for %.1f s", durationMs / 1_000) : "");
    }
}
