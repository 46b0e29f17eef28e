import java.io.IOException;
import java.util.List;

/**
 * All machines start for the first time. One of the three core machines loses power a moment later and stays down.
 */
final class LossAtFirstStart {
    private static final int BEFORE_LOSS = 300;
    private static final int ACK = 5_000;
    private static final int WAIT = 45_000;

    private LossAtFirstStart() {}

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
        Lab.main(arguments, LossAtFirstStart::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Engine desk = new Engine(lab, "i-desk", "desk", lab.address(41), 6);
        lab.startCore(List.of(desk));
        lab.startEntry(1);
        Lab.sleep(BEFORE_LOSS);
        if (Lab.trouble()) {
            lab.kill(lab.core.get(2));
            lab.note("core-3 lost power");
        }
        long lostAt = lab.elapsed();
        boolean acknowledged = false;
        for (int turn = 0; !acknowledged && lab.elapsed() < lostAt + WAIT; turn++) {
            int replica = 1 + turn % 3;
            int status = lab.replace(replica, configuration(1));
            lab.note("core-" + replica + " answers the first configuration with " + status);
            acknowledged = status == 200;
            Lab.sleep(500);
        }
        Lab.sleep(ACK);
        int served = served(lab, "request");
        lab.note(served + " of 10 requests were served");
        return acknowledged && served >= 3;
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
}
