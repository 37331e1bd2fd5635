package rillyard.faultinjection;

import java.util.Locale;

/**
 * A fault that is injected into processes, into the datagrams between them, or into their connections to hosts and
 * discovery.
 *
 * @param startMs start in milliseconds from the start of the fault schedule
 * @param kind what is done
 * @param sources the processes concerned; for a datagram fault, the senders
 * @param destinations the receivers of a datagram fault; otherwise unused
 * @param hosts the hosts of a connection fault; otherwise {@link HostPattern#NONE}
 * @param oneWay whether a datagram fault leaves the opposite direction alone
 * @param durationMs duration in milliseconds; 0 for an instantaneous fault
 * @param share share of the datagrams that are lost or duplicated, or of its time that a starved process is stopped
 * @param delayMs maximum delay of each datagram, or the delay of all bytes of a connection, in milliseconds
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
    /** What a fault is injected into. */
    enum Target {
        PROCESSES,
        DATAGRAMS,
        CONNECTIONS
    }

    /** The kinds of faults; plans and reports name them in lower case. */
    public enum Kind {
        KILL(Target.PROCESSES),
        TERM(Target.PROCESSES),
        STOP(Target.PROCESSES),
        RESTART(Target.PROCESSES),
        /** The process gets only a share of the CPU time. */
        STARVE(Target.PROCESSES),
        LOSE(Target.DATAGRAMS),
        DOUBLE(Target.DATAGRAMS),
        DELAY(Target.DATAGRAMS),
        /** Connections stay open, but nothing is forwarded. */
        SILENT(Target.CONNECTIONS),
        /** Open and new connections are reset. */
        RESET(Target.CONNECTIONS),
        SLOW(Target.CONNECTIONS),
        /** New connections are refused. */
        REFUSED(Target.CONNECTIONS);

        final Target target;

        Kind(Target target) {
            this.target = target;
        }

        /** Returns whether a fault of this kind has a duration; otherwise it is instantaneous. */
        boolean isLasting() {
            return target != Target.PROCESSES || this == STOP || this == STARVE;
        }
    }

    /** Returns what the fault is injected into. */
    Target target() {
        return kind.target;
    }

    /** Returns whether this is a datagram fault that concerns datagrams between two processes in this direction. */
    boolean affects(FleetProcess from, FleetProcess to) {
        return target() == Target.DATAGRAMS
                && ((sources.matches(from) && this.destinations.matches(to))
                        || (!oneWay && sources.matches(to) && this.destinations.matches(from)));
    }

    /** Returns a description of the fault without its times, for reports. */
    String description() {
        String text = kind.name().toLowerCase(Locale.ROOT) + " " + sources;
        if (target() == Target.DATAGRAMS) {
            text += (oneWay ? " to " : " with ")
                    + destinations
                    + (kind == Kind.DELAY ? " by up to " + delayMs + " ms" : " share " + share);
        } else if (target() == Target.CONNECTIONS) {
            text += " to hosts " + hosts + (kind == Kind.SLOW ? " by " + delayMs + " ms" : "");
        } else if (kind == Kind.STARVE) {
            text += " share " + share;
        }
        return text;
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
