package rillyard.operator;

import java.io.IOException;

/** What people on call and their tools may ask of a running proxy; called on the server's thread. */
public interface Operations {
  /** Whether requests would be served now. */
  boolean ready();

  /** The figures, brought up to date. */
  Figures figures();

  /**
   * Takes a host out.
   *
   * @return whether such a host is known
   * @throws IOException if this could not be carried out or kept
   */
  boolean detach(String host) throws IOException;

  /**
   * Gives a host back.
   *
   * @return whether such a host is known
   * @throws IOException if this could not be carried out or kept
   */
  boolean attach(String host) throws IOException;
}
