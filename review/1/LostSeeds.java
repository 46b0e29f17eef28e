import java.io.IOException;
import java.util.List;

/**
 * A core of six machines, of which two may be lost at once. Five of them have a vote, and one of the three seeds is the sixth.
 * The other two seeds lose their disks at the same time and are back a second later. Then a key is taken away.
 */
final class LostSeeds {
    private static final int MACHINES = 6;
    private static final int TOLERATED = 2;
    private static final int SEEDS = 3;
    private static final int CATCH_UP = 6_000;
    private static final int CONTACT = 5_000;
    private static final int SETTLE = 2_000;
    private static final int DOWN = 1_000;
    private static final int REQUESTS = 10;
    private static final int STARTS = 10;
    private static final int START_LIMIT = 15_000;

    private LostSeeds() {}

    private static String configuration(int version, String keys) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"lookup\",\"hostname\":\"site.example\","
                + "\"path_prefix\":\"/lookup/\",\"route_type\":\"idempotent\",\"timeout_ms\":2000,"
                + "\"target_latency_ms\":200,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
                + "\"allow_anonymous\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hotel\",\"api_keys\":[" + keys + "],\"priority\":1}]}";
    }

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, LostSeeds::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Engine desk = new Engine(lab, "i-desk", "desk", lab.address(41), 6);
        lab.contactTime = CONTACT;
        lab.startCore(List.of(desk), MACHINES, TOLERATED);
        int sixth = awaitVoters(lab);
        for (int start = 1; sixth > SEEDS; start++) {
            if (start == STARTS) throw new IllegalStateException("all seeds have a vote after " + STARTS + " starts");
            lab.startCoreAgain();
            sixth = awaitVoters(lab);
        }
        lab.startEntry(1);
        lab.configure(configuration(1, "\"key-that-stays\",\"key-that-goes\""));
        lab.awaitReady(1);
        Lab.sleep(CATCH_UP);
        send(lab, desk, "before", "key-that-goes");

        if (Lab.trouble()) {
            for (int number = 1; number <= SEEDS; number++) if (number != sixth) lab.kill(lab.core.get(number - 1));
            for (int number = 1; number <= SEEDS; number++) if (number != sixth) lab.loseDisk(number);
            Lab.sleep(DOWN);
            for (int number = 1; number <= SEEDS; number++) {
                if (number != sixth) lab.core.set(number - 1, lab.startControl(number, false, 1, 2, 3));
            }
        }
        Lab.sleep(CATCH_UP + CONTACT + SETTLE);
        for (int number = 1; number <= MACHINES; number++) {
            lab.note("core-" + number + " answers the read of the configuration with " + lab.readConfiguration(number));
        }

        revoke(lab, configuration(2, "\"key-that-stays\""));
        Lab.sleep(Lab.REVOKE + SETTLE);
        long ran = send(lab, desk, "after", "key-that-goes");
        lab.note(ran + " of " + REQUESTS + " requests with the key that was taken away ran");
        return ran == 0;
    }

    /** Waits until all votes are given and returns the machine without one, as the logs tell. Used only to choose machines. */
    private static int awaitVoters(Lab lab) throws Exception {
        long end = lab.elapsed() + START_LIMIT;
        while (lab.elapsed() < end) {
            Lab.sleep(200);
            String voters = "";
            for (int number = 1; number <= MACHINES; number++) {
                for (String line : lab.log("core-" + number).split("\n")) {
                    if (!line.contains("\"3006\"") || !line.contains("\"voters\"")) continue;
                    String found = line.substring(line.indexOf("\"voters\""));
                    if (found.length() > voters.length()) voters = found;
                }
            }
            if (voters.split(",").length < MACHINES - 1) continue;
            for (int number = 1; number <= MACHINES; number++) {
                if (voters.contains(lab.address(number) + ":")) continue;
                lab.note("core-" + number + " has no vote");
                return number;
            }
        }
        throw new IllegalStateException("the core did not give all votes");
    }

    /** Sends the configuration to the replicas in turn, as the operator does after a 5xx. */
    private static void revoke(Lab lab, String document) throws Exception {
        for (int turn = 0; turn < 120; turn++) {
            int replica = 1 + turn % MACHINES;
            int status = lab.replace(replica, document);
            lab.note("core-" + replica + " answers version 2, which takes a key away, with " + status);
            if (status == 200) return;
            Lab.sleep(100);
        }
        throw new IllegalStateException("no replica acknowledged version 2");
    }

    /** Returns how many of the requests ran. */
    private static long send(Lab lab, Engine desk, String name, String key) throws Exception {
        long ran = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String attempt = name + "-" + number;
            try (Client client = lab.connect(1)) {
                client.send("GET /lookup/job HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attempt
                        + "\r\nDeadline-Ms: 2000\r\nCredential: " + key + "\r\n\r\n");
                lab.note("client got for " + attempt + ": " + client.read(2_000));
            } catch (IOException failure) {
                lab.note("client could not send " + attempt + ": " + failure);
            }
            ran += desk.runs(attempt);
            Lab.sleep(200);
        }
        return ran;
    }
}
