package rillyard.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The figures of membership on a virtual clock in docs/PERFORMANCE.md; asked for by rillyard.figures, the members. */
@EnabledIfSystemProperty(named = "rillyard.figures", matches = "\\d+")
class MemberFiguresTest {
  private static final double S = 1_000;
  private static final int KILLED = 7;

  /** Loss, with as much doubled and up to 40 ms late where there is any. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.05, 0.3})
  void figures(double loss) {
    int members = Integer.getInteger("rillyard.figures");
    double seconds = Integer.getInteger("rillyard.figures.seconds", 600);
    for (long seed = 1; seed <= 3; seed++) {
      VirtualFleet f = new VirtualFleet(seed, members);
      double joined = f.untilAgreed(60 * S);
      f.run(5 * S);
      f.loss = loss;
      f.doubled = loss;
      f.delay = loss > 0 ? 40 : 2;
      f.sent = 0;
      f.sentBytes = 0;
      f.run(seconds * S);
      double share = seconds * members;
      int before = f.deaths.size();
      String cost = String.format(Locale.ROOT, "%.1f datagrams, %.0f bytes a second a member", f.sent / share, f.sentBytes / share);
      f.kill(KILLED);
      double held = f.until(60 * S, () -> f.allHold("m" + KILLED, Status.DEAD));
      System.out.printf(Locale.ROOT, "%d members, loss %.2f, seed %d: joined %.1f s, false deaths %d in %.0f s, killed one held"
          + " dead by all after %.2f s, %s%n", members, loss, seed, joined / S, before, seconds, held / S, cost);
      assertThat(held).as("all came to hold it dead").isNotNegative();
    }
  }
}
