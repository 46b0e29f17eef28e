import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's list holds one entry of another writer whose bytes cannot be read. All processes of the system are killed
 * and started again.
 */
public final class UnreadableElement {
    static final double RECOVERY_S = 12;
    static final double TRAFFIC_S = 8;

    public static void main(String[] arguments) {
        Lab2.run("review/8", UnreadableElement::test);
    }

    static void test(Lab2 lab) throws Exception {
        lab.controls = 3;
        lab.toleratedLosses = 1;
        for (int i = 1; i <= 3; i++) {
            lab.new Engine("i-" + i, "plain", (self, http, request) -> {
                http.readBody(request);
                http.answer(200, Lab2.signature(request, self.id), "x".repeat(800));
                return true;
            }).slots = 6;
        }
        for (int i = 1; i <= 3; i++) lab.startControl(i, true);
        for (int i = 1; i <= 2; i++) lab.startEntry(i);
        lab.configure(document(7), 30_000);
        for (int i = 1; i <= 2; i++) lab.awaitReady(i, 20_000);
        lab.log("before: %.2f of the requests are served", served(traffic(lab, 3)));

        // The last element is bytes of another writer: neither text nor JSON, with a brace among them.
        lab.extraInstances = ",\u00ff{\u00fe";
        lab.log("the list has an element that cannot be read");
        double before = served(traffic(lab, TRAFFIC_S));
        lab.log("with that element: %.2f of the requests are served", before);
        if (Lab2.trouble()) {
            // The final fault strikes right after one more change was acknowledged.
            lab.configure(document(8), 10_000);
            List<String> names = new ArrayList<>(lab.processes.keySet());
            for (String name : names) lab.signal(name, "KILL");
            Lab2.sleep(1_200);
            for (int i = 1; i <= 3; i++) lab.startControl(i, false);
            for (int i = 1; i <= 2; i++) lab.startEntry(i, true);
        }
        Lab2.sleep((long) (RECOVERY_S * 1_000));
        double after = served(traffic(lab, TRAFFIC_S));
        lab.log("%.0f s later: %.2f of the requests are served", RECOVERY_S, after);
        lab.finish(before >= 0.25 && after < 0.25, String.format("%.2f of the requests served before, %.2f after", before, after));
    }

    static String document(long version) {
        return Lab2.document(version, Lab2.route("r-look", "/look/", "idempotent", 2_000 + version % 2, "plain", false));
    }

    static double served(int[] counts) {
        return counts[0] / (double) Math.max(1, counts[0] + counts[1]);
    }

    /** Ten lookups a second, at both entries in turn. Returns how many were served and how many were not. */
    static int[] traffic(Lab2 lab, double seconds) {
        int[] counts = new int[2];
        double end = lab.now() + seconds;
        for (int i = 0; lab.now() < end; i++) {
            String id = String.format("look%08d%04d", (int) (lab.now() * 1_000), i);
            try (Socket socket = lab.connectFront(i % 2 + 1)) {
                socket.setSoTimeout(2_500);
                Http http = new Http(socket);
                http.send("GET /look/a HTTP/1.1\r\nHost: " + Lab2.HOST + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 2000\r\nCredential: " + Lab2.KEY + "\r\n\r\n");
                int status = http.readAnswer("GET").status;
                counts[status == 200 ? 0 : 1]++;
                if (status != 200) lab.log("%s is answered with %d", id, status);
            } catch (IOException failure) {
                counts[1]++;
                lab.log("%s gets no answer: %s", id, failure);
            }
            Lab2.sleep(100);
        }
        return counts;
    }
}
