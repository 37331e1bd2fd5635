package rillyard.trial;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import rillyard.ledger.Ledger;
import rillyard.process.Child;
import rillyard.process.Launch;
import rillyard.standin.StandIn;
import rillyard.standin.StandInPlanReader;

/** The processes of a trial, each with a folder, an address of its own and a relay before it. */
final class TrialFleet implements AutoCloseable {
  /** Processes that all others may ask for the way in. */
  private static final int SEEDS = 3;

  private static final int HOSTS = 4;

  /** What a process takes (KiB): some 70 MB resident, and room for what it grows by. */
  private static final long EACH_KB = 90_000;

  private final TrialPlan plan;
  private final Path folder;
  private final Launch launch;
  private final List<TrialMember> members;
  private final List<InetSocketAddress> own = new ArrayList<>();
  private final Child[] children;
  private final StandIn hosts;
  private final Path config;
  private final Path key;
  private boolean over;
  final Relays relays;

  /**
   * Takes addresses and starts the hosts; processes are started by {@link #start}.
   *
   * @throws IOException if memory won't do for so many, or an address can't be had
   */
  TrialFleet(TrialPlan plan, Launch launch, Path folder) throws Exception {
    this.plan = plan;
    this.folder = folder;
    this.launch = launch;
    this.members = plan.members();
    this.children = new Child[members.size()];
    checkMemory(members.size());
    Files.createDirectories(folder);
    long pid = ProcessHandle.current().pid();
    for (TrialMember m : members) {
      // A network of this trial's own, so that a port that was free a moment ago is free still.
      byte[] ip = {127, (byte) (10 + pid % 200), (byte) (m.index() / 250), (byte) (1 + m.index() % 250)};
      InetAddress address = InetAddress.getByAddress(ip);
      try (DatagramSocket s = new DatagramSocket(0, address)) {
        own.add(new InetSocketAddress(address, s.getLocalPort()));
      }
    }
    this.relays = new Relays(members, own, new LinkFaults(plan.seed()));
    this.hosts =
        new StandIn(StandInPlanReader.standard(HOSTS), new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1,
            Ledger.none(), System.err);
    hosts.start();
    this.config = folder.resolve("config.json");
    this.key = folder.resolve("fleet.key");
    byte[] bytes = new byte[32];
    new SecureRandom().nextBytes(bytes);
    Files.writeString(key, HexFormat.of().formatHex(bytes));
    Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
    new ObjectMapper().writeValue(config.toFile(), hosts.ready());
  }

  private static void checkMemory(int processes) throws IOException {
    Path meminfo = Path.of("/proc/meminfo");
    if (!Files.exists(meminfo)) {
      return;
    }
    for (String line : Files.readAllLines(meminfo)) {
      if (line.startsWith("MemAvailable:")) {
        long kb = Long.parseLong(line.replaceAll("\\D", ""));
        if (kb < processes * EACH_KB) {
          throw new IOException(processes + " processes take some " + processes * EACH_KB / 1_000 + " MB, "
              + kb / 1_000 + " MB are free: " + kb / EACH_KB + " would do");
        }
      }
    }
  }

  List<TrialMember> members() {
    return members;
  }

  Path history(TrialMember m) {
    return folder.resolve(m.name() + ".history");
  }

  /** Starts a process, also again under its old name and address. */
  synchronized void start(TrialMember m) throws IOException {
    if (over) {
      throw new IOException("the trial is over, " + m.name() + " is not started");
    }
    StringBuilder seeds = new StringBuilder();
    for (TrialMember s : members.subList(0, Math.min(SEEDS, members.size()))) {
      seeds.append(seeds.isEmpty() ? "" : ",").append(text(relays.address(s)));
    }
    Path settings = folder.resolve(m.name() + ".toml");
    Files.writeString(settings, "key_file = \"" + key.toAbsolutePath() + "\"\nseeds = \"" + seeds
        + "\"\n[self]\nname = \"" + m.name() + "\"\nlisten = \"" + text(own.get(m.index())) + "\"\nadvertise = \"" + text(relays.address(m)) + "\"\nzone = " + m.zone()
        + "\nhistory = \"" + history(m).toAbsolutePath() + "\"\n[membership]\n" + plan.membership());
    Path log = folder.resolve(m.name() + ".log");
    Launch told = launch.with("BALANCER_CONFIG", config.toAbsolutePath().toString())
        .with("BALANCER_LISTEN", text(freeFor(m)));
    children[m.index()] = Child.start(told, log, log, "proxy", "--fleet", settings.toAbsolutePath().toString());
  }

  /** A port that is free on the process's own address, where nobody but this trial takes any. */
  private InetSocketAddress freeFor(TrialMember m) throws IOException {
    InetAddress address = own.get(m.index()).getAddress();
    try (ServerSocket s = new ServerSocket(0, 1, address)) {
      return new InetSocketAddress(address, s.getLocalPort());
    }
  }

  Child child(TrialMember m) {
    return children[m.index()];
  }

  /** Carries out what is done to a process; STOP lasts until {@link #resume}. */
  void act(Fault.Kind kind, TrialMember m) throws IOException, InterruptedException {
    switch (kind) {
      case KILL -> child(m).kill();
      case TERM -> child(m).terminate();
      case STOP -> child(m).pause();
      case RESTART -> {
        child(m).kill();
        start(m);
      }
      default -> throw new IllegalArgumentException(kind + " is done to no process");
    }
  }

  void resume(TrialMember m) throws IOException, InterruptedException {
    child(m).resume();
  }

  private static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  /** Ends every process, by force: what they believed is written down already. None is started after. */
  synchronized void killAll() {
    over = true;
    for (Child c : children) {
      if (c != null) {
        try {
          c.kill();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  @Override
  public void close() {
    killAll();
    relays.close();
    hosts.close();
  }
}
