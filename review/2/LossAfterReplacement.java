import java.io.IOException;
import java.util.List;

/**
 * A machine of the core is replaced as planned: its successor starts first and has its time to catch up, then the old
 * machine is stopped for good. Two seconds later one other machine of the core loses its disk.
 */
final class LossAfterReplacement {
    private static final int CATCH_UP = 4_000;
    private static final int BEFORE_REMOVAL = 500;
    private static final int BEFORE_LOSS = 2_000;
    private static final int DOWN = 1_000;
    private static final int RECOVERY = 12_000;

    private LossAfterReplacement() {}

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"lookup\",\"hostname\":\"site.example\","
                + "\"path_prefix\":\"/lookup/\",\"route_type\":\"idempotent\",\"timeout_ms\":2000,"
                + "\"target_latency_ms\":200,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
                + "\"allow_anonymous\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hotel\",\"api_keys\":[\"hotel-key\"],\"priority\":1}]}";
    }

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, LossAfterReplacement::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Engine desk = new Engine(lab, "i-desk", "desk", lab.address(41), 6);
        lab.startCore(List.of(desk));
        lab.startEntry(1);
        lab.configure(configuration(1));
        lab.awaitReady(1);
        Lab.sleep(CATCH_UP);
        lab.note(served(lab, "before") + " of 10 requests were served");

        lab.startControl(4, false, 1, 2, 3);
        long startedAt = lab.elapsed();
        Lab.sleep(startedAt + CATCH_UP + BEFORE_REMOVAL - lab.elapsed());
        Process old = lab.core.get(0);
        lab.signal(old, "TERM");
        old.waitFor();
        lab.note("core-1 has ended and is removed");
        long removedAt = lab.elapsed();

        configureRemaining(lab, configuration(2));
        Lab.sleep(removedAt + BEFORE_LOSS - lab.elapsed());
        if (Lab.trouble()) {
            lab.kill(lab.core.get(1));
            lab.loseDisk(2);
            Lab.sleep(DOWN);
            lab.startControl(2, false, 2, 3, 4);
        }
        Lab.sleep(RECOVERY + CATCH_UP);

        int served = served(lab, "after");
        lab.note(served + " of 10 requests were served");
        boolean read = readBack(lab);
        return read && served >= 3;
    }

    private static void configureRemaining(Lab lab, String document) throws Exception {
        for (int turn = 0; turn < 100; turn++) {
            int replica = 2 + turn % 2;
            if (lab.replace(replica, document) == 200) {
                lab.note("version 2 acknowledged by core-" + replica);
                return;
            }
            Lab.sleep(100);
        }
        throw new IllegalStateException("no replica acknowledged version 2");
    }

    private static int served(Lab lab, String name) throws Exception {
        int served = 0;
        for (int number = 0; number < 10; number++) {
            try (Client client = lab.connect(1)) {
                client.send("GET /lookup/job HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + name + "-" + number
                        + "\r\nDeadline-Ms: 2000\r\nCredential: hotel-key\r\n\r\n");
                Answer answer = client.read(2_000);
                lab.note("client got for " + name + "-" + number + ": " + answer);
                if (answer.status == 200) served++;
            } catch (IOException failure) {
                lab.note("client could not send " + name + "-" + number + ": " + failure);
            }
            Lab.sleep(200);
        }
        return served;
    }

    /** Asks all running replicas in turn, for longer than the time after which machines count as in touch. */
    private static boolean readBack(Lab lab) throws Exception {
        long end = lab.elapsed() + 2L * Lab.CONTACT;
        for (int replica = 2; lab.elapsed() < end; replica = replica == 4 ? 2 : replica + 1) {
            Answer answer = lab.readConfiguration(replica);
            lab.note("core-" + replica + " answers the read of the configuration with " + answer);
            if (answer.status == 200 && answer.text().equals(configuration(2))) return true;
            Lab.sleep(300);
        }
        return false;
    }
}
