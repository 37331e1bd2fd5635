package rillyard.member.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rillyard.input.InvalidFileException;
import rillyard.input.TomlTable;
import rillyard.member.Card;
import rillyard.member.Codec;
import rillyard.member.Endpoint;
import rillyard.member.MemberSettings;

/** Reads {@code deploy/fleet.toml}. */
public final class FleetFile {
  private FleetFile() {}

  /**
   * Reads a file; where it names no member, {@code BALANCER_NAME} does.
   *
   * @throws InvalidFileException with all findings, by line
   */
  public static FleetSettings read(Path file, Map<String, String> environment) throws InvalidFileException {
    TomlTable root = TomlTable.read(file);
    TomlTable self = root.table("self");
    String name = self.text("name", environment.getOrDefault("BALANCER_NAME", ""));
    Endpoint listen = endpoint(self, "listen", self.text("listen"));
    Endpoint advertise = self.has("advertise") ? endpoint(self, "advertise", self.text("advertise")) : listen;
    Card card = null;
    try {
      card = new Card(name, advertise, (int) self.whole("zone", 0, 0, 255), (int) self.whole("region", 0, 0, 255));
    } catch (IllegalArgumentException e) {
      self.error("name", e.getMessage());
    }
    String history = self.text("history", null);
    List<Endpoint> seeds = new ArrayList<>();
    for (String s : root.text("seeds", "").split("[,\\s]+")) {
      if (!s.isEmpty()) {
        seeds.add(endpoint(root, "seeds", s));
      }
    }
    MemberSettings member = member(root.table("membership"));
    root.finish();
    return new FleetSettings(address(listen), card, seeds, member, history == null ? null : Path.of(history));
  }

  private static MemberSettings member(TomlTable t) {
    MemberSettings u = MemberSettings.USUAL;
    double interval = t.number("interval_ms", u.interval(), 100, 60_000);
    double timeout = t.number("timeout_ms", Math.min(u.timeout(), interval / 2), 10, 30_000);
    if (timeout > interval / 2) {
      t.error("timeout_ms", "found " + timeout + ", expected at most half of interval_ms, " + interval / 2);
      timeout = interval / 2;
    }
    return new MemberSettings(interval, timeout,
        (int) t.whole("helpers", u.helpers(), 1, 10),
        t.number("suspicion", u.suspicion(), 1, 20),
        t.number("suspicion_most", u.suspicionMost(), 1, 20),
        (int) t.whole("spread", u.spread(), 1, 10),
        1_000 * t.number("forget_s", u.forget() / 1_000, 10, 3_600),
        (int) t.whole("most", u.most(), 2, 100_000),
        (int) t.whole("datagram_bytes", u.room(), 128, Codec.MAX_BYTES));
  }

  /** An {@code IPv4:port}; names are not looked up. */
  private static Endpoint endpoint(TomlTable t, String key, String s) {
    String[] part = s.split("[.:]", -1);
    try {
      if (part.length == 5) {
        int ip = 0;
        for (int i = 0; i < 4; i++) {
          int b = Integer.parseInt(part[i]);
          if (b < 0 || b > 255) {
            throw new NumberFormatException(part[i]);
          }
          ip = ip << 8 | b;
        }
        return new Endpoint(ip, Integer.parseInt(part[4]));
      }
    } catch (IllegalArgumentException e) {
      // told below
    }
    t.error(key, "found '" + s + "', expected IPv4:port, as 10.1.0.4:7400");
    return new Endpoint(0x7F000001, 1);
  }

  static InetSocketAddress address(Endpoint e) {
    try {
      byte[] ip = {(byte) (e.ip() >> 24), (byte) (e.ip() >> 16), (byte) (e.ip() >> 8), (byte) e.ip()};
      return new InetSocketAddress(InetAddress.getByAddress(ip), e.port());
    } catch (UnknownHostException x) {
      throw new IllegalStateException(x); // four bytes are an address
    }
  }
}
