package rillyard.faultinjection;

import java.util.Locale;

/**
 * Something done to processes, to the datagrams between them, or to their connections to hosts and discovery.
 *
 * @param at ms from the start of the timetable
 * @param on which processes; for datagrams those that send them
 * @param to for datagrams those that they are for; else unused
 * @param hosts for connections those that are called; else {@link HostPattern#NONE}
 * @param oneWay for datagrams whether those the other way are left alone
 * @param lasts ms; 0 for what happens at one instant
 * @param share of the datagrams that are lost, or doubled; of its time that a starved process stands still
 * @param lateMs the longest that datagrams are held, each for a time of its own; for how long all bytes are
 */
public record InjectedFault(
        double at,
        Kind kind,
        ProcessPattern on,
        ProcessPattern to,
        HostPattern hosts,
        boolean oneWay,
        double lasts,
        double share,
        double lateMs) {
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
        /** New connections are refused. */
        REFUSED(Place.CONNECTIONS);

        final Place place;

        Kind(Place place) {
            this.place = place;
        }

        boolean lasting() {
            return place != Place.PROCESSES || this == STOP || this == STARVE;
        }
    }

    Place place() {
        return kind.place;
    }

    /** Whether it touches a datagram of this process to that one. */
    boolean touches(FleetProcess from, FleetProcess to) {
        return place() == Place.DATAGRAMS
                && ((on.has(from) && this.to.has(to)) || (!oneWay && on.has(to) && this.to.has(from)));
    }

    /** What is done, in words without its times. */
    String words() {
        String what = kind.name().toLowerCase(Locale.ROOT) + " " + on;
        if (place() == Place.DATAGRAMS) {
            what += (oneWay ? " to " : " with ")
                    + to
                    + (kind == Kind.DELAY ? " by up to " + lateMs + " ms" : " share " + share);
        } else if (place() == Place.CONNECTIONS) {
            what += " to hosts " + hosts + (kind == Kind.SLOW ? " by " + lateMs + " ms" : "");
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
                at / 1_000,
                words(),
                lasts > 0 ? String.format(Locale.ROOT, " for %.1f s", lasts / 1_000) : "");
    }
}
