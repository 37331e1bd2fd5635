package rillyard.balancer;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The state of one host as this proxy knows it: plain data, changed by the classes that decide. */
final class HostState {
    final long id;
    final long ring;
    String zone;
    String kind;
    long cell;
    boolean listed;
    boolean sendable;
    double onlineSince;
    int listMark;

    int inFlight;
    final Set<RetryPolicy.AttemptState> out = new LinkedHashSet<>(4);
    double lastAnswer = Double.NEGATIVE_INFINITY;
    double newestAnswered = Double.NEGATIVE_INFINITY;

    double slowness = 1;
    int samples;
    double lastSample = Double.NEGATIVE_INFINITY;
    LoadReport report = LoadReport.NONE;
    double reportAt = Double.NEGATIVE_INFINITY;
    int sentSinceReport;

    final Map<RetryPolicy.RequestClassStats, HostSet.FailureRate> losses = new HashMap<>(4);
    int failuresInRow;
    double charge;
    double chargeAt;
    int ejections;
    double lastEjection = Double.NEGATIVE_INFINITY;
    double ejectedUntil;
    boolean halfOpen;

    double coldCredit;
    double coldCreditAt;

    HostState(long id) {
        this.id = id;
        long z = id * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        this.ring = z ^ (z >>> 27);
    }
}
