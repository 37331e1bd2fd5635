package rillyard.trial;

import java.util.List;

/**
 * What a trial starts and does.
 *
 * @param processes how many processes of this program
 * @param zones processes are dealt to them in turn
 * @param lasts ms of the timetable, from when all have found each other
 * @param membership lines for the {@code [membership]} table of each process's settings
 */
public record TrialPlan(
    long seed, int processes, int zones, double lasts, String membership, List<Fault> faults) {
  List<TrialMember> members() {
    return java.util.stream.IntStream.range(0, processes).mapToObj(i -> TrialMember.of(i, zones)).toList();
  }
}
