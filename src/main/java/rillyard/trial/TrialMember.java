package rillyard.trial;

/** A process of a trial: its number from 0, its name, its zone and region. */
record TrialMember(int index, String name, int zone, int region) {
    static TrialMember of(int index, int zones, int regions) {
        return new TrialMember(index, "m" + index, index % zones, index % zones % regions);
    }
}
