package rillyard.member;

import java.util.HashSet;
import java.util.Set;

/** What is believed of one member, and since when. */
final class Belief {
  Update word;
  double since;
  /** By whose word, as {@link Change#by}. */
  String by = "";
  /** When a suspect is asked again. */
  double askAt;
  /** Who suspects it, by number: independent words shorten the time that it has to speak up. */
  final Set<Integer> accusers = new HashSet<>(4);

  Belief(Update word, double since) {
    this.word = word;
    this.since = since;
  }

  Status status() {
    return word.status();
  }
}
