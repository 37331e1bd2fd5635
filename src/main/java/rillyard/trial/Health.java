package rillyard.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Asks a process whether it serves. */
final class Health {
  private static final int WAIT_MS = 1_000;

  private static final byte[] ASK =
      "GET /_health HTTP/1.1\r\nHost: trial\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private Health() {}

  /** Whether it answers {@code /_health} with 200 within a second. */
  static boolean serves(InetSocketAddress at) {
    try (Socket s = new Socket()) {
      s.connect(at, WAIT_MS);
      s.setSoTimeout(WAIT_MS);
      s.getOutputStream().write(ASK);
      return new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false; // not yet
    }
  }
}
