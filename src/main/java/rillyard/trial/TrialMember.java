package rillyard.trial;

/** A process of a trial: its number from 0, its name, its zone. */
record TrialMember(int index, String name, int zone) {
  static TrialMember of(int index, int zones) {
    return new TrialMember(index, "m" + index, index % zones);
  }
}
